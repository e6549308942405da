/** Answers of a target in trouble: damaged, unfinished, or one too many. */
import type {Socket} from 'node:net';
import {completeResponse} from '@samphirefield/gateway/testing';
import type {Draw} from './schedule.js';
import type {RunRecord} from './types.js';

/** A whole answer, of which an odd one is made. */
export interface WholeAnswer {
  readonly body: string;
  readonly lines: readonly string[];
}

export function answerOddly(
  draw: Draw,
  run: RunRecord,
  {body, lines}: WholeAnswer,
  socket: Socket,
): void {
  const whole = completeResponse(body, lines);
  switch (draw(0, 6)) {
    case 0:
      socket.write(completeResponse(body, lines, '000 Odd'));
      return;
    case 1:
      run.answer = {status: 200, body};
      socket.write(whole + completeResponse('again', lines));
      return;
    case 2:
      socket.end(whole.slice(0, draw(1, whole.length - body.length - 1)));
      return;
    case 3:
      socket.end(whole.slice(0, -1));
      return;
    case 4:
      socket.write('\u0000\u0001 these are no bytes of an answer\r\n\r\n');
      return;
    case 5:
      socket.write(completeResponse(body));
      return;
    default:
      socket.resetAndDestroy();
  }
}

/** Refusals that are written once more when the next request has come. */
export class CopiedRefusals {
  private readonly due = new WeakMap<Socket, string>();

  write(socket: Socket, refusal: string, isCopied: boolean): void {
    if (isCopied) this.due.set(socket, refusal);
    socket.write(refusal);
  }

  /** Writes the copy of an earlier refusal on this connection. */
  writeCopy(socket: Socket): void {
    const copy = this.due.get(socket);
    if (copy === undefined) return;
    this.due.delete(socket);
    socket.write(copy);
  }
}
