/** Branded string types, so that one kind of id is not used as another. */

type Branded<T, Name extends string> = T & {readonly brand: Name};

/** One machine of the system or of a database group. */
export type InstanceId = Branded<string, 'InstanceId'>;
/** A data centre. */
export type SiteId = Branded<string, 'SiteId'>;
/** A group of database members. */
export type ServiceName = Branded<string, 'ServiceName'>;
/** A customer whose sessions the proxy serves; the PostgreSQL user name. */
export type CallerName = Branded<string, 'CallerName'>;
/** The user name that a connection to a member logs in with. */
export type MemberUser = Branded<string, 'MemberUser'>;
/** A class of requests, with its maximum data age, priority and deadline. */
export type ClassName = Branded<string, 'ClassName'>;
/** Identifies one change of the settings, so that it can be retried. */
export type ChangeId = Branded<string, 'ChangeId'>;
/** A caller's idempotency key for one write. */
export type RequestKey = Branded<string, 'RequestKey'>;
/** Identifies one run of a process. */
export type IncarnationId = Branded<string, 'IncarnationId'>;

export const instanceId = (text: string) => text as InstanceId;
export const siteId = (text: string) => text as SiteId;
export const serviceName = (text: string) => text as ServiceName;
export const callerName = (text: string) => text as CallerName;
export const memberUser = (text: string) => text as MemberUser;
export const className = (text: string) => text as ClassName;
export const changeId = (text: string) => text as ChangeId;
export const requestKey = (text: string) => text as RequestKey;
export const incarnationId = (text: string) => text as IncarnationId;
