import {status, type sendUnaryData, type ServerUnaryCall} from '@grpc/grpc-js';
import {toError} from '../../base/common/errors';
import {detach} from '../../base/node/broken_invariant';
import type {Log} from '../../base/node/log';
import type {ConsensusNode} from '../../services/consensus/node/consensus_node';
import type {ControlMachine} from '../../services/control_state/common/control_machine';
import type {
  ApplyRequest,
  ChangeOutcome,
  Command,
  ControlServer,
  DrainRequest,
  ForceRequest,
  OperatorReply,
  ProxyMessage,
  ProxyRecord,
  StatusReply,
} from '../../schema/generated/control';
import type {Leadership} from './leadership';
import type {SettingsInForce} from './settings_in_force';

/** What the service needs from the control instance. */
export interface OperatorDependencies {
  readonly instance: string;
  readonly log: Log;
  readonly machine: ControlMachine;
  readonly node: ConsensusNode;
  readonly settings: SettingsInForce;
  /** The current leadership, or undefined while not leader. */
  leadership(): Leadership | undefined;
  leaderAddress(): string;
  now(): number;
}

const MISSING_CHANGE = {
  code: status.INVALID_ARGUMENT,
  details: 'the request has no change',
};

type Respond<T> = sendUnaryData<T>;
type Body = NonNullable<Command['body']>;

/** The gRPC service that control offers to proxies and operators. */
export class OperatorService {
  constructor(private readonly dependencies: OperatorDependencies) {}

  get handlers(): ControlServer {
    return {
      attach: stream => this.attach(stream),
      apply: (call, respond) => {
        this.guard('apply', respond, this.apply(call, respond));
      },
      drain: (call, respond) => {
        this.guard('drain', respond, this.drain(call, respond));
      },
      status: (...[, respond]) => {
        this.guard('status', respond, this.status(respond));
      },
      force: (call, respond) => {
        this.guard('force', respond, this.force(call, respond));
      },
    };
  }

  /** Responds with an error, and logs it, if a handler fails. */
  private guard<T>(
    request: string,
    respond: Respond<T>,
    handling: Promise<void>,
  ): void {
    handling.catch(thrown => {
      const reason = toError(thrown).message;
      this.dependencies.log.error('A request failed.', {request, reason});
      const details = `the request failed: ${reason}`;
      respond({code: status.INTERNAL, details});
    });
  }

  private attach(stream: Parameters<ControlServer['attach']>[0]): void {
    let proxy: ProxyRecord | undefined;
    stream.on('data', ({body}: ProxyMessage) => {
      const leadership = this.dependencies.leadership();
      if (!leadership) {
        const leaderAddress = this.dependencies.leaderAddress();
        const value = {leaderAddress};
        stream.write({body: {$case: 'notLeader', value}});
        stream.end();
        return;
      }
      if (body?.$case === 'hello' && body.value.proxy) {
        proxy = body.value.proxy;
        leadership.attachments.attach(proxy, stream);
      }
      if (body?.$case === 'ask' && proxy) {
        detach(
          'lease request',
          leadership.attachments.onLeaseRequest(proxy, body.value),
        );
      }
    });
    stream.on('error', () => stream.end());
  }

  private async apply(
    call: ServerUnaryCall<ApplyRequest, OperatorReply>,
    respond: Respond<OperatorReply>,
  ): Promise<void> {
    const {change} = call.request;
    if (!change) return respond(MISSING_CHANGE);
    const knownOutcome = this.dependencies.machine.outcomeOf(change.changeId);
    const errors = knownOutcome
      ? ''
      : this.dependencies.settings.validate(change.text);
    if (errors !== '') return respond(null, this.makeRefusal(errors));
    const body: Body = {$case: 'applySettings', value: change};
    await this.proposeChange(change.changeId, body, respond);
  }

  private async drain(
    call: ServerUnaryCall<DrainRequest, OperatorReply>,
    respond: Respond<OperatorReply>,
  ): Promise<void> {
    const {change} = call.request;
    if (!change) return respond(MISSING_CHANGE);
    const body: Body = {$case: 'setDrain', value: change};
    await this.proposeChange(change.changeId, body, respond);
  }

  /**
   * Proposes a change and replies with its outcome. Retries are safe: a change
   * with a known id gets its recorded outcome.
   */
  private async proposeChange(
    changeId: string,
    body: Body,
    respond: Respond<OperatorReply>,
  ): Promise<void> {
    const leadership = this.dependencies.leadership();
    if (!leadership) return respond(null, this.makeNotLeaderReply());
    const proposed = await leadership.log.propose(body);
    if (proposed.isErr) return respond(null, this.makeNotLeaderReply());
    const outcome = this.dependencies.machine.outcomeOf(changeId);
    respond(null, {outcome, notLeader: false, leaderAddress: ''});
  }

  private async status(respond: Respond<StatusReply>): Promise<void> {
    const {node, machine, instance} = this.dependencies;
    const {core} = node;
    const confirmed = await node.confirmLeadership();
    const leadership = this.dependencies.leadership();
    const now = this.dependencies.now();
    respond(null, {
      instance,
      leader: confirmed.isOk,
      leaderAddress: this.dependencies.leaderAddress(),
      consensusTerm: core.currentTerm,
      commitIndex: core.commitIndex,
      configuration: core.configuration,
      state: machine.state,
      proxies: machine.state.proxies.map(proxy => ({
        instance: proxy.instance,
        site: '',
        attached: leadership?.leases.isAttached(proxy, now) ?? false,
        settingsVersion: leadership?.leases.settingsVersionOf(proxy) ?? 0,
      })),
    });
  }

  private async force(
    call: ServerUnaryCall<ForceRequest, OperatorReply>,
    respond: Respond<OperatorReply>,
  ): Promise<void> {
    const leadership = this.dependencies.leadership();
    if (!leadership) return respond(null, this.makeNotLeaderReply());
    const accepted = leadership.force(call.request.service);
    const outcome = this.makeOutcome(
      accepted,
      accepted ? '' : 'no such service',
    );
    respond(null, {outcome, notLeader: false, leaderAddress: ''});
  }

  private makeRefusal(detail: string): OperatorReply {
    const outcome = this.makeOutcome(false, detail);
    return {outcome, notLeader: false, leaderAddress: ''};
  }

  private makeOutcome(accepted: boolean, detail: string): ChangeOutcome {
    const version = this.dependencies.machine.state.settingsVersion;
    return {accepted, version, winnerChangeId: '', detail};
  }

  private makeNotLeaderReply(): OperatorReply {
    const leaderAddress = this.dependencies.leaderAddress();
    return {outcome: undefined, notLeader: true, leaderAddress};
  }
}
