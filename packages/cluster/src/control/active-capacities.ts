/** The load limits of services, decoded from the replicated configuration. */
import type {Result} from 'neverthrow';
import type {Logger} from '@samphirefield/core';
import type {RouteTable, ServiceCapacity} from '@samphirefield/gateway';
import {capacitiesOf} from '../capacities.js';
import type {ClusterState} from './state-machine.js';

export interface ActiveCapacitiesOptions {
  readonly decodeConfig: (document: string) => Result<RouteTable, unknown>;
  readonly logger: Logger;
}

export class ActiveCapacities {
  private version = 0;
  private capacities: ServiceCapacity[] = [];

  constructor(private readonly options: ActiveCapacitiesOptions) {}

  /**
   * Empty before the first configuration; undefined if that of the state cannot
   * be decoded.
   */
  of({version, document}: ClusterState): ServiceCapacity[] | undefined {
    if (version === this.version || version === 0) return this.capacities;
    const {decodeConfig, logger} = this.options;
    const table = decodeConfig(document);
    if (table.isErr()) {
      logger.error('config_unreadable', {version});
      return undefined;
    }
    this.version = version;
    this.capacities = capacitiesOf(table.value);
    return this.capacities;
  }
}
