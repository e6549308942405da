/** The account of a process for its clients, with its log lines. */
import {
  accountLimitsOf,
  ResourceAccount,
  type MachineLimits,
} from '../account/index.js';
import type {Logger} from '../logging/index.js';
import {readMachineLimits} from './machine.js';

/** Limits that `known` does not contain are read from the system. */
export function createClientAccount(
  known: Partial<MachineLimits>,
  logger: Logger,
): ResourceAccount {
  const limits = accountLimitsOf({...readMachineLimits(), ...known});
  const account: ResourceAccount = new ResourceAccount(limits, {
    onPressure: (resource, isShort) =>
      logger.warn(isShort ? 'limit_reached' : 'limit_left', {
        resource,
        held_bytes: account.totalBytes,
        max_bytes: limits.maxBytes,
        connections: account.connectionCount,
        max_connections: limits.maxConnections,
        waiting: account.waitingCount,
      }),
  });
  return account;
}
