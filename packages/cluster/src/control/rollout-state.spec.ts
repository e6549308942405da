/** Rollouts in the replicated state, without a network. */
import {expect} from 'earl';
import {test} from 'node:test';
import {serviceId, zoneId} from '@samphirefield/core';
import {versionId} from '@samphirefield/policy/rollouts';
import {
  findRollout,
  useOfVersion,
  type RolloutEnd,
  type StartRolloutCommand,
} from './rollout-state.js';
import {ClusterStateMachine, type ClusterCommand} from './state-machine.js';

const SERVICE = serviceId('s');
const [v1, v2, v3] = ['v1', 'v2', 'v3'].map(versionId);

const createMachine = () =>
  new ClusterStateMachine({
    onChange: () => undefined,
    onQuarantineChange: () => undefined,
    nowMs: () => 0,
  });

const order = (
  target: StartRolloutCommand['target'],
  changed: Partial<StartRolloutCommand> = {},
): StartRolloutCommand => ({
  kind: 'start_rollout',
  service: SERVICE,
  target,
  durationMs: 1_000,
  orderedAtMs: 10,
  ...changed,
});

/** Applies commands and returns the kind of each result. */
function play(machine: ClusterStateMachine, ...commands: ClusterCommand[]) {
  return commands.map(command => {
    const {index} = machine.state;
    return machine.apply(JSON.stringify(command), index + 1).kind;
  });
}

function end(machine: ClusterStateMachine, outcome: RolloutEnd): string {
  const {startIndex} = findRollout(machine.state.rollouts, SERVICE)!;
  const ending = {kind: 'end_rollout', service: SERVICE, startIndex} as const;
  return play(machine, {...ending, outcome, reason: 'r'})[0]!;
}

const usesIn = (machine: ClusterStateMachine) =>
  [v1, v2, v3, undefined].map(version =>
    useOfVersion(findRollout(machine.state.rollouts, SERVICE), version),
  );

test('a repeated order starts a rollout again, or another one interrupts it', () => {
  const machine = createMachine();
  const results = play(machine, order(v2!), order(v2!), order(v3!));
  expect(results).toEqual(['changed', 'unchanged', 'conflict']);
  end(machine, 'rolled_back');
  expect(play(machine, order(v2!))).toEqual(['unchanged']);
  expect(machine.state.rollouts[0]!.state).toEqual('rolled_back');
});

test('an order that was superseded while its daemon was frozen is obeyed', () => {
  const machine = createMachine();
  play(machine, order(v2!, {orderedAtMs: 20}));
  end(machine, 'completed');
  expect(play(machine, order(v3!, {orderedAtMs: 15}))).toEqual(['conflict']);
});

test('the end of an earlier rollout ends a later one, or an end is revised', () => {
  const machine = createMachine();
  play(machine, order(v2!));
  expect(end(machine, 'rolled_back')).toEqual('changed');
  expect(end(machine, 'completed')).toEqual('unchanged');
  play(machine, order(v3!));
  const late = {kind: 'end_rollout', service: SERVICE, startIndex: 1} as const;
  const ending = {...late, outcome: 'completed', reason: 'r'} as const;
  expect(play(machine, ending)).toEqual(['unchanged']);
});

test('a version gets requests that no rollout and no initial state allowed', () => {
  const machine = createMachine();
  expect(usesIn(machine)).toEqual(['open', 'open', 'open', 'open']);
  play(machine, order(v2!));
  expect(usesIn(machine)).toEqual(['open', 'granted', 'open', 'open']);
  end(machine, 'rolled_back');
  expect(usesIn(machine)).toEqual(['open', 'closed', 'open', 'open']);
  play(machine, order(v3!));
  expect(usesIn(machine)).toEqual(['open', 'closed', 'granted', 'open']);
  end(machine, 'completed');
  expect(usesIn(machine)).toEqual(['closed', 'closed', 'open', 'closed']);
  play(machine, order(v2!));
  expect(usesIn(machine)).toEqual(['closed', 'granted', 'open', 'closed']);
});

test('an order for the version that serves alone stops it', () => {
  const machine = createMachine();
  play(machine, order(v2!));
  end(machine, 'completed');
  play(machine, order(v2!, {durationMs: 7}));
  expect(usesIn(machine)).toEqual(['closed', 'open', 'closed', 'closed']);
  expect(machine.state.rollouts[0]!.state).toEqual('completed');
});

test('a snapshot loses a rollout, or one of an earlier build cannot be read', () => {
  const machine = createMachine();
  play(machine, order(v2!));
  const restored = createMachine();
  restored.restore(machine.snapshot());
  expect(restored.state).toEqual(machine.state);
  const earlier = {
    index: 4,
    version: 1,
    document: 'd',
    zonesOut: [zoneId('z')],
  };
  restored.restore(Buffer.from(JSON.stringify(earlier)));
  expect(restored.state).toEqual({...earlier, rollouts: []});
});
