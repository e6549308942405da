/**
 * A sound worker of a plain service: answers after its working time, echoes the
 * id of the attempt, keeps its connections and sends heartbeats.
 */
import {createServer} from 'node:net';
import {callControl} from './operator.mjs';

const HEARTBEAT_MS = 1_200;
const HEAD_END = '\r\n\r\n';

export function headerOf(head, name) {
  return new RegExp(`^${name}: *(.*)$`, 'im').exec(head)?.[1]?.trim();
}

export class Worker {
  /** `spoil` may change the bytes of an answer. */
  constructor({
    id,
    service,
    ip,
    zone,
    workMs,
    slots,
    spoil = answer => answer,
  }) {
    Object.assign(this, {id, service, ip, zone, workMs, slots, spoil});
    this.bornMs = Date.now();
    this.sequence = 0;
    /** Attempt ids of the requests that it ran, in order. */
    this.ran = [];
    this.sockets = new Set();
    this.server = createServer(socket => this.serve(socket));
  }

  async listen() {
    await new Promise(resolve =>
      this.server.listen({host: this.ip, port: 0}, resolve),
    );
    this.port = this.server.address().port;
  }

  /** Sends heartbeats to one control daemon after the other. */
  announceTo(controls, controlPort) {
    const beat = async () => {
      this.sequence += 1;
      const body = JSON.stringify({
        Service: this.service,
        Addr: `${this.ip}:${this.port}`,
        Zone: this.zone,
        Version: 'v1',
        Slots: this.slots,
        State: 'ready',
        ColdLeftMs: 0,
        Seq: this.sequence,
        born: this.bornMs,
      });
      for (let i = 0; i < controls.length; i += 1) {
        const {ip} = controls[(this.sequence + i) % controls.length];
        const path = `/samphirefield/instances/${this.id}`;
        const {status} = await callControl({
          ip,
          port: controlPort,
          method: 'PUT',
          path,
          body,
        });
        if (status >= 200 && status < 300) return;
      }
    };
    void beat();
    this.timer = setInterval(() => void beat(), HEARTBEAT_MS);
  }

  serve(socket) {
    let text = '';
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', data => {
      text += data.toString('latin1');
      for (;;) {
        const headEnd = text.indexOf(HEAD_END);
        if (headEnd < 0) return;
        const head = text.slice(0, headEnd);
        const bodyEnd =
          headEnd +
          HEAD_END.length +
          Number(headerOf(head, 'content-length') ?? 0);
        if (text.length < bodyEnd) return;
        text = text.slice(bodyEnd);
        this.answer(socket, head);
      }
    });
  }

  answer(socket, head) {
    const attempt = headerOf(head, 'x-samphirefield-attempt-id') ?? '';
    const expected = headerOf(head, 'x-samphirefield-expect-instance');
    if (expected !== undefined && expected !== this.id) {
      socket.write(
        `HTTP/1.1 421 Misdirected Request\r\nX-Samphirefield-Attempt-Id: ${attempt}\r\nX-Samphirefield-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
      );
      return;
    }
    this.ran.push(attempt);
    setTimeout(() => {
      if (socket.destroyed) return;
      const body = `answer to ${attempt} of ${this.id}`;
      const answer = `HTTP/1.1 200 OK\r\nX-Samphirefield-Attempt-Id: ${attempt}\r\nX-Samphirefield-Server-Stamp: ${this.id}.${attempt}\r\nX-Served-By: ${this.id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
      socket.write(this.spoil(Buffer.from(answer, 'latin1'), attempt));
    }, this.workMs);
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}
