/** What a configuration says of how its services' targets may be loaded. */
import type {RouteTable, ServiceCapacity} from '@samphirefield/gateway';

export function capacitiesOf(table: RouteTable): ServiceCapacity[] {
  return table.services.map(({name, engine, coldRequestsPerS}) => ({
    service: name,
    kvTokens: engine?.kvTokens,
    coldRequestsPerS,
  }));
}
