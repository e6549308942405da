/** What a control daemon answers to daemons of this build and of earlier ones. */
import {expect} from 'earl';
import {test} from 'node:test';
import {DocumentHistory} from '../documents/index.js';
import type {Peer} from '../link/index.js';
import {createLinkHandlers, type LinkHandlerOptions} from './link-handlers.js';
import type {ClusterState} from './state-machine.js';

const STATE: ClusterState = {
  index: 3,
  version: 7,
  document: '{"version":7}',
  zonesOut: [],
  rollouts: [],
};

/** Calls a method of a daemon whose leadership is confirmed or not. */
function call(method: string, params: object, isConfirmed: boolean) {
  const documents = new DocumentHistory();
  documents.record(STATE.version, STATE.document);
  const newest = () => Promise.resolve(isConfirmed ? STATE : undefined);
  const options = {
    group: () => ({state: STATE, readNewest: newest}),
    readNewest: newest,
    documents,
  } as unknown as LinkHandlerOptions;
  const handle = createLinkHandlers(options)[method]!;
  return handle(params as never, undefined as unknown as Peer);
}

test('a read of an earlier build gets a part of a state, or an unconfirmed one', async () => {
  expect(await call('read_newest', {}, true)).toEqual(STATE);
  expect(await call('read_newest', {}, false)).toEqual(undefined);
});

test('a read gets an unconfirmed state, or a document that it has', async () => {
  const known = {knownVersion: 7};
  const withoutDocument = {...STATE, document: undefined};
  expect(await call('read_newest', known, true)).toEqual(withoutDocument);
  expect(await call('read_newest', known, false)).toEqual(undefined);
  expect(await call('read_newest', {knownVersion: 6}, true)).toEqual(STATE);
});

test('an entry of an earlier build is sent what it cannot read', async () => {
  expect(await call('pull_state', {knownVersion: 0}, false)).toEqual(STATE);
});

test('a first state is not the newest, or has no document', async () => {
  const first = {knownVersion: 0, acceptsUpdates: true, mustBeNewest: true};
  expect(await call('pull_state', first, false)).toEqual(undefined);
  const update = {baseVersion: 0, text: STATE.document};
  const answer = {...STATE, document: undefined, update};
  expect(await call('pull_state', first, true)).toEqual(answer);
});
