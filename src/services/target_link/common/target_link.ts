import {memberUser, type MemberUser} from '../../../base/common/ids';
import type {Result} from '../../../base/common/result';
import type {Position} from '../../position/common/position';
import type {TargetCall, TargetReply} from '../../statement/common/statement';

/** The user of connections that belong to no account. */
export const SHARED_USER: MemberUser = memberUser('bulrushstage');

/** The address of a member and the member expected there. */
export interface TargetAddress {
  readonly service: string;
  /** The user that the member authorizes the connection for. */
  readonly user: MemberUser;
  readonly instance: string;
  readonly address: string;
}

/** Why a connection could not be opened. */
export type ConnectFailure =
  /** Refused or reset: nothing listens there. */
  | 'refused'
  /** Timed out. */
  | 'silent'
  /** The member has reached its connection limit. */
  | 'too many connections'
  /** Another member uses the address now. */
  | 'other member';

/** A connection to a member; replies arrive in the order of the calls. */
export interface TargetLink {
  readonly isClosed: boolean;
  /** The position of the member's log when the connection opened. */
  readonly positionAtOpen: Position | undefined;
  /** Pipelines calls; each promise resolves with a complete reply. */
  send(calls: readonly TargetCall[]): readonly Promise<TargetReply>[];
  /** Calls back once when the connection is closed for any reason. */
  onDidClose(listener: () => void): void;
  close(): void;
}

/** Opens connections to members. */
export interface TargetConnector {
  connect(
    target: TargetAddress,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Result<TargetLink, ConnectFailure>>;
}
