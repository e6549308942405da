/**
 * The document in force at a control daemon, with the deltas that led to it, so
 * that an entry is sent what it lacks.
 */
import {applyDelta, diffDocuments} from './document-delta.js';
import {
  encodeUpdate,
  NO_VERSION,
  type DocumentUpdate,
  type VersionedDocument,
} from './document-update.js';

const MAX_DELTAS = 512;
const MAX_DELTA_CHARS = 2_097_152;

interface StoredDelta {
  readonly baseVersion: number;
  readonly text: string;
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

const charsOf = (deltas: readonly StoredDelta[]): number =>
  deltas.reduce((sum, {text}) => sum + text.length, 0);

export class DocumentHistory {
  private latest: VersionedDocument | undefined;
  /** Each begins at the version to which the one before it leads. */
  private deltas: StoredDelta[] = [];
  /** Updates to the latest version, by the version that they begin with. */
  private readonly updates = new Map<number, Promise<DocumentUpdate>>();

  /** Records the document that is in force now. */
  record(version: number, text: string): void {
    if (version === NO_VERSION || version === this.latest?.version) return;
    this.updates.clear();
    const before = this.latest;
    const value = parse(text);
    this.latest = {version, value};
    const isNext = before !== undefined && version > before.version;
    if (value === undefined || !isNext) {
      this.deltas = [];
      return;
    }
    const delta = diffDocuments(before.value, value);
    this.deltas.push({
      baseVersion: before.version,
      text: JSON.stringify(delta),
    });
    this.dropOldest();
    // What did not change stays the same object.
    this.latest = {
      version,
      value: applyDelta(before.value, delta).unwrapOr(value),
    };
  }

  /** The parsed document; undefined if another one is in force or it is no JSON. */
  valueOf(version: number): unknown {
    return this.latest?.version === version ? this.latest.value : undefined;
  }

  /** What leads from one version to the document of another, if that is the latest. */
  updateFrom(
    knownVersion: number,
    version: number,
    text: string,
  ): Promise<DocumentUpdate> | undefined {
    if (this.latest?.version !== version) return undefined;
    const deltas = this.deltasFrom(knownVersion);
    const areShorter = deltas.length > 0 && charsOf(deltas) < text.length;
    const baseVersion = areShorter ? knownVersion : NO_VERSION;
    const known = this.updates.get(baseVersion);
    if (known) return known;
    const list = deltas.map(delta => delta.text).join(',');
    const update = encodeUpdate(baseVersion, areShorter ? `[${list}]` : text);
    this.updates.set(baseVersion, update);
    return update;
  }

  private deltasFrom(version: number): readonly StoredDelta[] {
    const first = this.deltas.findIndex(
      ({baseVersion}) => baseVersion === version,
    );
    return first < 0 ? [] : this.deltas.slice(first);
  }

  private dropOldest(): void {
    let chars = charsOf(this.deltas);
    while (this.deltas.length > MAX_DELTAS || chars > MAX_DELTA_CHARS)
      chars -= this.deltas.shift()!.text.length;
  }
}
