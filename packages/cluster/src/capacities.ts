/** Extracts the load limits of each service's targets from a route table. */
import type {RouteTable, ServiceCapacity} from '@samphirefield/gateway';

export function capacitiesOf(table: RouteTable): ServiceCapacity[] {
  return table.services.map(({name, engine, coldRequestsPerS}) => ({
    service: name,
    kvTokens: engine?.kvTokens,
    canMove: engine?.canMove ?? false,
    coldRequestsPerS,
  }));
}
