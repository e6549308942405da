/** The engines of a played scenario, by the emulator's model. */
import {serviceId, targetId, zoneId, type TargetId} from '@samphirefield/core';
import {
  createEngine,
  type EngineConfig,
  type EngineState,
} from '@samphirefield/fakes';
import type {TargetRecord} from '@samphirefield/gateway';
import type {Scenario} from './scenario.js';

export const SERVICE = serviceId('engines');
/** New requests that a cold engine accepts per second. */
export const COLD_REQUESTS_PER_S = 26;

const STEP: Pick<
  EngineConfig,
  | 'stepBaseMs'
  | 'stepPerSequenceMs'
  | 'prefillMsPerToken'
  | 'prefillChunkTokens'
> = {
  stepBaseMs: 7,
  stepPerSequenceMs: 0.12,
  prefillMsPerToken: 1 / 14,
  prefillChunkTokens: 112,
};

export interface Engine<Run> {
  readonly id: TargetId;
  readonly record: TargetRecord;
  readonly state: EngineState;
  readonly runs: Map<string, Run>;
  isBusy: boolean;
  isGone: boolean;
  isDraining: boolean;
}

/** An engine that starts at `nowMs` and stays cold for `coldMs`. */
export function createPlayedEngine<Run>(
  scenario: Scenario,
  number: number,
  zone: number,
  coldMs: number,
  nowMs: number,
): Engine<Run> {
  const {slots, kvTokens} = scenario;
  const config: EngineConfig = {
    ...STEP,
    stepBaseMs: scenario.stepBaseMs ?? STEP.stepBaseMs,
    slots,
    coldSlots: slots,
    kvTokens,
    warmUpSteps: 1,
    coldSlowdown: 1,
    maxCachedPrefixes: 64,
  };
  const id = targetId(`t${number}`);
  const record: TargetRecord = {
    announcement: {
      id,
      bornMs: 1,
      sequence: 1,
      service: SERVICE,
      host: id,
      port: 1,
      zone: zoneId(`z${zone % scenario.zones}`),
      slots,
      state: 'ready',
      coldLeftMs: coldMs,
    },
    lastSeenAtMs: nowMs,
    coldUntilMs: nowMs + coldMs,
  };
  return {
    id,
    record,
    state: createEngine(config, true),
    runs: new Map(),
    isBusy: false,
    isGone: false,
    isDraining: false,
  };
}
