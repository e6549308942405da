/**
 * Loads on a fleet of engines that is short of KV cache: long and short
 * generations, engines that leave at short notice and are replaced, bursts. The
 * figures of engines and requests are those of a deployment; random choices come
 * from a seed.
 */

export interface RequestClass {
  readonly name: string;
  readonly perS: number;
  readonly promptTokens: number;
  readonly promptSpread: number;
  readonly outputTokens: number;
  readonly outputSpread: number;
  readonly maxOutputTokens: number;
  /** Spread of the callers' estimates of the output. */
  readonly hintSpread: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  readonly priority: number;
  /** Value of a response in time, and of a late one, in units of any kind. */
  readonly worth: number;
  readonly lateWorth: number;
}

export interface Scenario {
  readonly name: string;
  readonly durationMs: number;
  readonly engines: number;
  readonly slots: number;
  readonly kvTokens: number;
  readonly zones: number;
  readonly classes: readonly RequestClass[];
  /** Share of the engines that leave, how often, and the notice they give. */
  readonly leaveShare: number;
  readonly leaveEveryMs: number;
  readonly noticeMs: number;
  readonly replacedAfterMs: number;
  /** Factor of all arrivals between the two times. */
  readonly burst: number;
  readonly burstFromMs: number;
  readonly burstToMs: number;
  /** Default: all engines are equally fast, and all zones equally busy. */
  readonly unevenness?: Unevenness;
  /** Longest time between two events of a response in time; default 180. */
  readonly maxGapMs?: number;
  /** Factor of the arrivals of a class at a time; default: none. */
  readonly rateFactor?: (requestClass: RequestClass, atMs: number) => number;
  /** Range of notices; default: always `noticeMs`. */
  readonly noticeSpreadMs?: number;
  /** Shortest time of a decoding step; default: that of fleet.ts. */
  readonly stepBaseMs?: number;
  /** Workspaces among which requests are divided unevenly; default: none. */
  readonly workspaces?: number;
}

/** How engines differ in speed, and zones in demand. */
export interface Unevenness {
  /** Range of the engines' steady pace, in multiples of the usual. */
  readonly minPace: number;
  readonly maxPace: number;
  /** Share of the time, mean duration and factor of slowdowns. */
  readonly slowShare: number;
  readonly slowMs: number;
  readonly slowFactor: number;
  /** Whether the pace that engines state includes their steady pace. */
  readonly statesSteadyPace: boolean;
  /** Amplitude of the zones' demand, as a share of its mean, and its period. */
  readonly swing: number;
  readonly swingMs: number;
  /** Whether the dispatcher uses what engines state and entries measure. */
  readonly usesTable: boolean;
}

const LISTING_DRAFT: RequestClass = {
  name: 'listing-draft',
  perS: 17.1,
  promptTokens: 3_079,
  promptSpread: 0.35,
  outputTokens: 744,
  outputSpread: 1.09,
  maxOutputTokens: 1_756,
  hintSpread: 1.2,
  objectiveMs: 1_806,
  deadlineMs: 39_000,
  priority: 0,
  worth: 180,
  lateWorth: 27,
};

const MODERATION_VERDICT: RequestClass = {
  name: 'moderation-verdict',
  perS: 19.1,
  promptTokens: 2_550,
  promptSpread: 0.35,
  outputTokens: 8,
  outputSpread: 0.5,
  maxOutputTokens: 32,
  hintSpread: 0.5,
  objectiveMs: 1_504,
  deadlineMs: 6_000,
  priority: 1,
  worth: 24,
  lateWorth: 3.6,
};

const BOTENBEURS: Scenario = {
  name: 'botenbeurs',
  durationMs: 40_000,
  engines: 31,
  slots: 24,
  kvTokens: 26_950,
  zones: 4,
  classes: [LISTING_DRAFT, MODERATION_VERDICT],
  leaveShare: 0.17,
  leaveEveryMs: 3_300,
  noticeMs: 1_800,
  replacedAfterMs: 4_000,
  burst: 1,
  burstFromMs: 0,
  burstToMs: 0,
};

/** A smaller fleet with fewer requests for longer outputs. */
const TEMBUSU: Scenario = {
  ...BOTENBEURS,
  name: 'tembusu',
  engines: 10,
  kvTokens: 34_244,
  zones: 3,
  classes: [
    {
      ...LISTING_DRAFT,
      name: 'budding-advice',
      perS: 3.75,
      outputTokens: 940,
      maxOutputTokens: 2_200,
    },
    {
      ...MODERATION_VERDICT,
      name: 'stock-match',
      perS: 5.28,
      outputTokens: 12,
      worth: 19,
      lateWorth: 2.9,
    },
  ],
};

export const SCENARIOS: readonly Scenario[] = [
  BOTENBEURS,
  {
    ...BOTENBEURS,
    name: 'botenbeurs-burst',
    burst: 1.5,
    burstFromMs: 10_000,
    burstToMs: 18_000,
  },
  {
    ...BOTENBEURS,
    name: 'botenbeurs-flood',
    burst: 2.5,
    burstFromMs: 8_000,
    burstToMs: 30_000,
  },
  TEMBUSU,
  {
    ...TEMBUSU,
    name: 'tembusu-burst',
    burst: 1.8,
    burstFromMs: 10_000,
    burstToMs: 18_000,
  },
  {
    ...TEMBUSU,
    name: 'tembusu-flood',
    burst: 3,
    burstFromMs: 8_000,
    burstToMs: 30_000,
  },
];

export const UNEVENNESS: Unevenness = {
  minPace: 0.7,
  maxPace: 1.7,
  slowShare: 0.15,
  slowMs: 600,
  slowFactor: 2.5,
  statesSteadyPace: true,
  swing: 0.5,
  swingMs: 20_000,
  usesTable: true,
};

/**
 * Long generations and short ones on engines that differ in speed, before zones
 * whose demand swings out of phase.
 */
export const UNEVEN: Scenario = {
  ...BOTENBEURS,
  name: 'uneven',
  durationMs: 60_000,
  engines: 44,
  kvTokens: 27_000,
  classes: [
    {
      ...LISTING_DRAFT,
      name: 'long',
      perS: 15,
      promptTokens: 3_000,
      outputTokens: 750,
      objectiveMs: 4_000,
      priority: 2,
    },
    {
      ...MODERATION_VERDICT,
      name: 'short',
      perS: 25,
      promptTokens: 2_200,
      outputTokens: 12,
      objectiveMs: 1_500,
      priority: 0,
    },
  ],
  maxGapMs: 450,
  unevenness: UNEVENNESS,
};
