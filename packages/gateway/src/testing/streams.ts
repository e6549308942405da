/** Streams of numbered events, as scripted targets send them. */

export const chunk = (text: string) =>
  `${text.length.toString(16)}\r\n${text}\r\n`;
export const STREAM_END = '0\r\n\r\n';

export const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`;
export const events = (from: number, to: number) =>
  Array.from({length: to - from + 1}, (_, i) => event(from + i)).join('');

/** The head of a stream with these further lines, without a signature. */
export const unsignedStreamHead = (...extra: string[]) =>
  ['HTTP/1.1 200 OK', ...extra, 'Transfer-Encoding: chunked', '', ''].join(
    '\r\n',
  );
export const streamHead = (...extra: string[]) =>
  unsignedStreamHead('Signed: yes', ...extra);

/** A complete stream of these events. */
export const wholeStream = (from: number, to: number) =>
  streamHead() + chunk(events(from, to)) + STREAM_END;

/** The number after which a target was asked for events; 0: for all. */
export const lastEventIdOf = (head: string) =>
  Number(/^last: (.*)$/im.exec(head)?.[1] ?? 0);
