/**
 * Branded identifier types. A brand makes the compiler reject a target's id
 * where a workspace's id is expected, at no cost at run time.
 */
declare const brand: unique symbol;

export type Branded<Base, Name extends string> = Base & {
  readonly [brand]: Name;
};

export type InstanceId = Branded<string, 'InstanceId'>;
export type ZoneId = Branded<string, 'ZoneId'>;
export type WorkspaceId = Branded<string, 'WorkspaceId'>;
export type TargetId = Branded<string, 'TargetId'>;
export type ServiceId = Branded<string, 'ServiceId'>;
export type ModelId = Branded<string, 'ModelId'>;
export type RequestId = Branded<string, 'RequestId'>;
export type GenerationId = Branded<string, 'GenerationId'>;
export type ClaimId = Branded<string, 'ClaimId'>;
export type CommandId = Branded<string, 'CommandId'>;
export type Incarnation = Branded<string, 'Incarnation'>;
export type Fingerprint = Branded<string, 'Fingerprint'>;
export type Revision = Branded<number, 'Revision'>;

export const instanceId = (text: string): InstanceId => text as InstanceId;
export const zoneId = (text: string): ZoneId => text as ZoneId;
export const workspaceId = (text: string): WorkspaceId => text as WorkspaceId;
export const targetId = (text: string): TargetId => text as TargetId;
export const serviceId = (text: string): ServiceId => text as ServiceId;
export const modelId = (text: string): ModelId => text as ModelId;
export const requestId = (text: string): RequestId => text as RequestId;
export const generationId = (text: string): GenerationId =>
  text as GenerationId;
export const claimId = (text: string): ClaimId => text as ClaimId;
export const commandId = (text: string): CommandId => text as CommandId;
export const incarnation = (text: string): Incarnation => text as Incarnation;
export const fingerprint = (text: string): Fingerprint => text as Fingerprint;
export const revision = (value: number): Revision => value as Revision;
