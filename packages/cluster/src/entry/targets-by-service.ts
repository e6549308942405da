/** Which targets are of which service, as last announced. */
import type {ServiceId, TargetId} from '@samphirefield/core';

const NO_TARGETS: ReadonlySet<TargetId> = new Set();

export class TargetsByService {
  private readonly services = new Map<TargetId, ServiceId>();
  private readonly targets = new Map<ServiceId, Set<TargetId>>();

  /** Adds a target, or moves it from another service. */
  set(target: TargetId, service: ServiceId): void {
    if (this.services.get(target) === service) return;
    this.delete(target);
    this.services.set(target, service);
    const siblings = this.targets.get(service) ?? new Set();
    this.targets.set(service, siblings.add(target));
  }

  delete(target: TargetId): void {
    const service = this.services.get(target);
    if (service === undefined) return;
    this.services.delete(target);
    const siblings = this.targets.get(service)!;
    siblings.delete(target);
    if (siblings.size === 0) this.targets.delete(service);
  }

  serviceOf(target: TargetId): ServiceId | undefined {
    return this.services.get(target);
  }

  targetsOf(service: ServiceId): ReadonlySet<TargetId> {
    return this.targets.get(service) ?? NO_TARGETS;
  }
}
