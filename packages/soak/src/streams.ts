/** The numbered events of a generation, as targets send and callers judge them. */

const EVENT_END = '\n\n';
const EVENT = /^id: (\d+)\ndata: (\S+) (\d+)$/;

export const eventText = (generation: string, id: number, total: number) =>
  `id: ${id}\ndata: ${generation} ${total}${EVENT_END}`;

export interface ReadEvents {
  readonly ids: readonly number[];
  readonly generations: ReadonlySet<string>;
  /** Number of events that the generation has. */
  readonly total: number | undefined;
  /** Text after the last whole event. */
  readonly rest: string;
  readonly hasOddEvent: boolean;
}

export function readEvents(body: string): ReadEvents {
  const parts = body.split(EVENT_END);
  const rest = parts.pop() ?? '';
  const matches = parts.map(part => EVENT.exec(part));
  const events = matches.filter(match => match !== null);
  return {
    ids: events.map(match => Number(match[1])),
    generations: new Set(events.map(match => match[2]!)),
    total: events.length > 0 ? Number(events[0]![3]) : undefined,
    rest,
    hasOddEvent: events.length < matches.length,
  };
}
