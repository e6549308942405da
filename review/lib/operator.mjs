/** An operator as the pages describe it: a second for each answer, then the next daemon. */
import {request} from 'node:http';

const ANSWER_WITHIN_MS = 1_000;
const PAUSE_MS = 150;

export function callControl({
  ip,
  port,
  method,
  path,
  body,
  timeoutMs = ANSWER_WITHIN_MS,
}) {
  return new Promise(resolve => {
    const req = request(
      {
        host: ip,
        port,
        method,
        path,
        agent: false,
        headers: body
          ? {
              'content-type': 'application/json',
              'content-length': Buffer.byteLength(body),
            }
          : {},
      },
      res => {
        let text = '';
        res.setEncoding('utf8');
        res.on('data', part => (text += part));
        res.on('end', () => resolve({status: res.statusCode, text}));
        res.on('error', () => resolve({status: 0, text: ''}));
      },
    );
    req.setTimeout(timeoutMs, () => req.destroy(new Error('no answer')));
    req.on('error', () => resolve({status: 0, text: ''}));
    req.end(body);
  });
}

/** Tries the daemons in turn until one answers 2xx; undefined after `forMs`. */
export async function callUntilDone(machines, port, call, forMs) {
  const untilMs = performance.now() + forMs;
  const statuses = [];
  for (let i = 0; performance.now() < untilMs; i += 1) {
    const machine = machines[i % machines.length];
    const response = await callControl({...call, ip: machine.ip, port});
    statuses.push(response.status);
    if (response.status >= 200 && response.status < 300)
      return {...response, machine, statuses};
    await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
  }
  return {status: undefined, statuses};
}
