/** Branded ids: strings that cannot be taken for one another. */

type Branded<T, Name extends string> = T & {readonly brand: Name};

/** One machine of the system or of a database group. */
export type InstanceId = Branded<string, 'InstanceId'>;
/** A place where instances stand. */
export type SiteId = Branded<string, 'SiteId'>;
/** A group of databases behind the proxy. */
export type ServiceName = Branded<string, 'ServiceName'>;
/** A customer whose sessions the proxy serves; the PostgreSQL user name. */
export type CallerName = Branded<string, 'CallerName'>;
/** The name under which a connection to a member is opened. */
export type MemberUser = Branded<string, 'MemberUser'>;
/** A kind of request with its own accepted age, priority and deadline. */
export type ClassName = Branded<string, 'ClassName'>;
/** An operator's name for one change of settings. */
export type ChangeId = Branded<string, 'ChangeId'>;
/** A caller's name for one write that must run at most once. */
export type RequestKey = Branded<string, 'RequestKey'>;
/** One run of a process: new at each start. */
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
