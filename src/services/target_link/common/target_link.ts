import {memberUser, type MemberUser} from '../../../base/common/ids';
import type {Result} from '../../../base/common/outcome';
import type {Position} from '../../position/common/position';
import type {TargetCall, TargetReply} from '../../statement/common/statement';

/** The user of connections that belong to no account. */
export const SHARED_USER: MemberUser = memberUser('bulrushstage');

/** Where a member is met, and which member is expected there. */
export interface TargetAddress {
  readonly service: string;
  /** Whose work the connection is for; a member holds it to that. */
  readonly user: MemberUser;
  readonly instance: string;
  readonly address: string;
}

/** Why a connection could not be opened. */
export type ConnectFailure =
  /** Refused or reset: nobody listens there. */
  | 'refused'
  /** No answer in time. */
  | 'silent'
  /** The member has as many connections as it takes. */
  | 'too many connections'
  /** Another member has the address now. */
  | 'other member';

/** A connection to a member; answers come in the order of the calls. */
export interface TargetLink {
  readonly isClosed: boolean;
  /** What the member's log held when the connection opened. */
  readonly positionAtOpen: Position | undefined;
  /** Sends calls in one go and gives each answer when it is whole. */
  send(calls: readonly TargetCall[]): readonly Promise<TargetReply>[];
  /** Calls back once when the connection ends, for whatever reason. */
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
