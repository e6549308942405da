/**
 * Messages between daemons: other deployments, other protocol versions, and
 * arbitrary bytes.
 */
import {expect} from 'earl';
import fc from 'fast-check';
import {after, before, test} from 'node:test';
import {request} from 'undici';
import {
  INTERNAL_KEY,
  TestDeployment,
  type TestDaemon,
} from '../testing/index.js';
import {requestMac} from './auth.js';
import {
  envelopeSchema,
  heartbeatSchema,
  ledgerCommandSchema,
  operatorCommandSchema,
  RpcClient,
} from './index.js';

let deployment: TestDeployment;
let daemon: TestDaemon;

before(async () => {
  deployment = await TestDeployment.start({voters: 1, rules: ''});
  daemon = deployment.daemons[0]!;
});

after(() => deployment.close());

function peer() {
  const url = new URL(daemon.internalUrl);
  return {address: url.hostname, port: Number(url.port)};
}

async function postRaw(body: string, headers: Record<string, string>) {
  const response = await request(`${daemon.internalUrl}/rpc`, {
    method: 'POST',
    headers,
    body,
  });
  return {status: response.statusCode, text: await response.body.text()};
}

const signed = (body: string, deploymentName = deployment.name) => ({
  'x-samphirefield-deployment': deploymentName,
  'x-samphirefield-protocol': '1',
  'x-samphirefield-code': requestMac(INTERNAL_KEY, deploymentName, body),
});

test('a daemon with another deployment, protocol version or key is refused', async () => {
  const body = '{"jsonrpc":"2.0","id":1,"method":"voter.info","params":{}}';
  expect((await postRaw(body, signed(body))).status).toEqual(200);
  expect((await postRaw(body, signed(body, 'other'))).text).toEqual(
    'refused: deployment',
  );
  const oldProtocol = {...signed(body), 'x-samphirefield-protocol': '0'};
  expect((await postRaw(body, oldProtocol)).text).toEqual('refused: protocol');
  const forged = {...signed(body), 'x-samphirefield-code': 'f'.repeat(64)};
  expect((await postRaw(body, forged)).text).toEqual('refused: key');
  expect((await postRaw(`${body} `, signed(body))).text).toEqual(
    'refused: key',
  );
  expect((await postRaw(body, {})).status).toEqual(403);
});

test('wrong parameters, unknown methods and malformed JSON return an error', async () => {
  const rpc = new RpcClient(INTERNAL_KEY, deployment.name, undefined);
  const wrongParameters = await rpc.call(
    peer(),
    'ledger.peek',
    {key: 7},
    2_000,
  );
  expect(wrongParameters._unsafeUnwrapErr().kind).toEqual('failed');
  const unknownMethod = await rpc.call(peer(), 'no.such.method', {}, 2_000);
  expect(unknownMethod._unsafeUnwrapErr().kind).toEqual('failed');
  await rpc.close();
  const body = '{"jsonrpc"';
  expect((await postRaw(body, signed(body))).text).toMatchRegex(/not JSON/);
});

test('random calls leave the state unchanged and the daemon running', async () => {
  const methods = [
    'raft.step',
    'entry.heartbeat',
    'ledger.apply',
    'ledger.peek',
    'operator.command',
    'operator.status',
  ];
  const rpc = new RpcClient(INTERNAL_KEY, deployment.name, undefined);
  const before = await deployment.status();
  await fc.assert(
    fc.asyncProperty(
      fc.constantFrom(...methods),
      fc.jsonValue(),
      async (method, params) => {
        await rpc.call(peer(), method, params, 2_000);
      },
    ),
    {seed: 6, numRuns: 300},
  );
  await rpc.close();
  const after = await deployment.status();
  expect([after.term, after.revision, after.ledgerRecords]).toEqual([
    before.term,
    before.revision,
    before.ledgerRecords,
  ]);
});

test('no value makes a message schema throw', () => {
  const value = fc.oneof(
    fc.jsonValue(),
    fc.record({
      from: fc.string(),
      to: fc.string(),
      message: fc.record({
        kind: fc.constantFrom(
          'append_request',
          'vote_request',
          'snapshot_request',
        ),
        term: fc.anything(),
      }),
    }),
  );
  fc.assert(
    fc.property(value, message => {
      for (const schema of [
        envelopeSchema,
        heartbeatSchema,
        ledgerCommandSchema,
        operatorCommandSchema,
      ])
        schema.safeParse(message);
    }),
    {seed: 8, numRuns: 1_000},
  );
});
