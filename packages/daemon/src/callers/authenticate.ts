/** Looks up a caller's workspace by its API key. */
import {err, ok, type Result} from 'neverthrow';
import {sha256Hex, type RuleSet, type WorkspaceRule} from '@samphirefield/core';
import {notRun, type ApiError} from '../http/index.js';

const BEARER = /^Bearer (\S{1,512})$/;

/** Looks keys up by their hash, so that timing does not reveal where they differ. */
export function authenticate(
  rules: RuleSet,
  authorization: string | undefined,
): Result<WorkspaceRule, ApiError> {
  if (authorization === undefined) {
    return err(
      notRun(401, 'missing_api_key', 'send Authorization: Bearer API-KEY'),
    );
  }
  const key = BEARER.exec(authorization)?.[1];
  const workspace = key && rules.workspacesByKey.get(sha256Hex(key));
  return workspace
    ? ok(workspace)
    : err(notRun(401, 'invalid_api_key', 'the API key is not known'));
}
