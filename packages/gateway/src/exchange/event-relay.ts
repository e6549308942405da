/**
 * Forwards the events of a stream, each once and in order, even if another
 * target continues it midway. Only complete events are forwarded; a partial
 * event of a target whose stream broke off is dropped.
 */

const EVENT_END = Buffer.from('\n\n');
const DATA_FIELD = /(?:^|\n)data(?=[:\r\n]|$)/;
const ID_FIELD = /(?:^|\n)id: ?(\d+)(?=\r?\n|$)/;

/**
 * `gap`: an event is missing, or a source sent an event twice. `endless event`:
 * the bytes since the last event are too many for an event.
 */
export type RelayFault = 'gap' | 'endless event' | undefined;

const MAX_EVENT_BYTES = 65_536;
/** Streams number their events from 0 or from 1. */
const MAX_FIRST_EVENT_ID = 1;

export interface EventRelayOptions {
  readonly write: (data: Buffer) => void;
}

export class EventRelay {
  /** Id of the last event that the caller has; undefined before the first. */
  lastEventId: number | undefined;
  /** Whether an event was forwarded after which no source can continue. */
  private hasUnnumberedEvent = false;
  /** Number of events received, also those that were not forwarded. */
  eventCount = 0;
  private partial: Buffer | undefined;
  private isDroppingRepeats = false;
  private hasEarlierSource = false;

  constructor(private readonly options: EventRelayOptions) {}

  /** Call first when the caller asked for the events after this one. */
  startAfter(lastEventId: number): void {
    this.lastEventId = lastEventId;
    this.isDroppingRepeats = true;
  }

  /**
   * Whether a source that sends only the events after `lastEventId` continues
   * the stream without a gap or a repeat.
   */
  get canResume(): boolean {
    return !this.hasUnnumberedEvent;
  }

  /**
   * Call when another target continues the stream. Events that it repeats are
   * dropped.
   */
  startNextSource(): void {
    this.partial = undefined;
    this.isDroppingRepeats = true;
    this.hasEarlierSource = true;
  }

  /**
   * Forwards the complete events of the data, up to the first fault.
   */
  push(data: Buffer): RelayFault {
    const pending = this.partial ? Buffer.concat([this.partial, data]) : data;
    const searchedBytes = this.partial?.length ?? 0;
    let start = 0;
    let forwardFrom = 0;
    for (;;) {
      // The end of an event may lie across the parts, but not before.
      const searchFrom = Math.max(start, searchedBytes - EVENT_END.length + 1);
      const end = pending.indexOf(EVENT_END, searchFrom);
      if (end < 0) break;
      const next = end + EVENT_END.length;
      this.eventCount += 1;
      const kind = this.classify(pending.subarray(start, end));
      if (kind === 'gap') {
        this.forward(pending.subarray(forwardFrom, start));
        return 'gap';
      }
      if (kind === 'repeat') {
        this.forward(pending.subarray(forwardFrom, start));
        forwardFrom = next;
      }
      start = next;
    }
    this.forward(pending.subarray(forwardFrom, start));
    this.partial = start < pending.length ? pending.subarray(start) : undefined;
    const partialBytes = pending.length - start;
    return partialBytes > MAX_EVENT_BYTES ? 'endless event' : undefined;
  }

  /** Whether bytes follow the last complete event. */
  get hasPartialEvent(): boolean {
    return this.partial !== undefined;
  }

  /** Whether more than line breaks follows the last complete event. */
  get hasCutEvent(): boolean {
    return /[^\r\n]/.test(this.partial?.toString('latin1') ?? '');
  }

  /** Returns the bytes after the last complete event of a stream that ended. */
  takePartialEvent(): Buffer | undefined {
    const partialEvent = this.partial;
    this.partial = undefined;
    return partialEvent;
  }

  private forward(data: Buffer): void {
    if (data.length > 0) this.options.write(data);
  }

  private classify(event: Buffer): 'pass' | 'repeat' | 'gap' {
    const text = event.toString('latin1');
    const match = ID_FIELD.exec(text);
    if (match === null) {
      this.hasUnnumberedEvent ||= DATA_FIELD.test(text);
      return 'pass';
    }
    const id = Number(match[1]);
    const last = this.lastEventId;
    if (last !== undefined && id <= last) {
      return this.isDroppingRepeats ? 'repeat' : 'gap';
    }
    if (id > this.maxNextEventId) return 'gap';
    this.lastEventId = id;
    return 'pass';
  }

  /** An earlier source may have sent the first events, which were lost. */
  private get maxNextEventId(): number {
    if (this.lastEventId !== undefined) return this.lastEventId + 1;
    return this.hasEarlierSource ? MAX_FIRST_EVENT_ID : Infinity;
  }
}
