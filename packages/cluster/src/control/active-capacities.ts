/** The load limits of services, decoded from the replicated configuration. */
import type {Logger} from '@samphirefield/core';
import type {ServiceCapacity} from '@samphirefield/gateway';
import {capacitiesOf} from '../capacities.js';
import type {ConfigDecoder} from '../config-decoder.js';
import type {DocumentHistory} from '../documents/index.js';
import type {ClusterState} from './state-machine.js';

export interface ActiveCapacitiesOptions {
  readonly decodeConfig: ConfigDecoder;
  readonly documents: DocumentHistory;
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
  of({version}: ClusterState): ServiceCapacity[] | undefined {
    if (version === this.version || version === 0) return this.capacities;
    const {decodeConfig, documents, logger} = this.options;
    const table = decodeConfig(documents.valueOf(version));
    if (table.isErr()) {
      logger.error('config_unreadable', {version});
      return undefined;
    }
    this.version = version;
    this.capacities = capacitiesOf(table.value);
    return this.capacities;
  }
}
