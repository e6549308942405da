/** Calls that are sent again. */
import {expect} from 'earl';
import {test} from 'node:test';
import {fingerprintsOf} from './fingerprints.js';

const BODY = Buffer.from('body');

test('a call that comes with another query each time begins at zero', () => {
  const first = fingerprintsOf('POST', '/a?try=1', BODY);
  const second = fingerprintsOf('POST', '/a?try=2', BODY);
  expect(first.fingerprint).not.toEqual(second.fingerprint);
  expect(first.similar).toEqual(second.similar);
  expect(first.similar.length).toEqual(1);
  expect(fingerprintsOf('POST', '/a', BODY).similar).toEqual([]);
});
