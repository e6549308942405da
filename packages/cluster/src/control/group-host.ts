/**
 * Keeps a replica of the control group open: opens it again from its stored
 * state after its disk failed, for as long as its storage cannot be opened.
 */
import {err, ok, type Result} from 'neverthrow';
import {
  GroupReplica,
  type GroupReplicaOptions,
  type OpenError,
} from './group-replica.js';

const REOPEN_AFTER_MS = 1_000;

export interface GroupHostOptions extends Omit<
  GroupReplicaOptions,
  'onDiskFailure'
> {
  /** Called each time the replica is open. */
  readonly onOpened: () => void;
}

export class GroupHost {
  private current: GroupReplica | undefined;
  private isStopping = false;
  /** Ends when the storage of a replica whose disk failed is closed. */
  private closing: Promise<void> | undefined;

  constructor(private readonly options: GroupHostOptions) {}

  /** Undefined while the storage of the replica is not open. */
  get group(): GroupReplica | undefined {
    return this.current;
  }

  /** Fails if the replica can never be opened from what the folder holds. */
  async start(): Promise<Result<void, string>> {
    const opened = await this.open();
    if (opened.isOk()) return ok(undefined);
    if (!opened.error.isPassing) return err(opened.error.reason);
    this.reopenLater(opened.error);
    return ok(undefined);
  }

  async stop(): Promise<void> {
    this.isStopping = true;
    await this.current?.stop('the daemon stops');
    await this.closing;
  }

  private async open(): Promise<Result<void, OpenError>> {
    const opened = await GroupReplica.open({
      ...this.options,
      onDiskFailure: error => this.onDiskFailure(error),
    });
    if (opened.isErr()) return err(opened.error);
    this.current = opened.value;
    this.options.onOpened();
    return ok(undefined);
  }

  private onDiskFailure(error: Error): void {
    this.options.logger.error('replica_stopped', {reason: error.message});
    const failed = this.current;
    this.current = undefined;
    this.closing = failed?.node.stop('its disk failed').catch(() => undefined);
    setTimeout(() => void this.reopen(), REOPEN_AFTER_MS);
  }

  private reopenLater({reason}: OpenError): void {
    this.options.logger.error('replica_not_opened', {reason});
    setTimeout(() => void this.reopen(), REOPEN_AFTER_MS);
  }

  private async reopen(): Promise<void> {
    await this.closing;
    if (this.isStopping) return;
    const opened = await this.open();
    if (opened.isErr()) this.reopenLater(opened.error);
    if (this.isStopping) await this.current?.stop('the daemon stops');
  }
}
