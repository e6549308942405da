/** What identifies a call to a plain service that is sent again. */
import {fingerprint, sha256Hex} from '@samphirefield/core';
import type {PlainRequest} from './types.js';

/** A repeated call may differ in its query. */
export function fingerprintsOf(
  method: string,
  url: string,
  body: Buffer,
): Pick<PlainRequest, 'fingerprint' | 'similar'> {
  const digest = (target: string) =>
    fingerprint(sha256Hex(`${method}\n${target}\n${sha256Hex(body)}`));
  const [path = ''] = url.split('?');
  return {
    fingerprint: digest(url),
    similar: path === url ? [] : [digest(path)],
  };
}
