import type {StateMachine} from '../../services/consensus/node/consensus_node';
import {
  ControlMachine,
  emptyControlState,
} from '../../services/control_state/common/control_machine';
import {Command, ControlState} from '../../schema/generated/control';

/** Applies protobuf commands of the replicated log to the control state. */
export class ControlStateMachine implements StateMachine {
  readonly machine = new ControlMachine();

  apply(index: number, command: Buffer): void {
    this.machine.apply(index, Command.decode(command));
  }

  snapshot(): Buffer {
    return Buffer.from(ControlState.encode(this.machine.state).finish());
  }

  restore(state: Buffer): void {
    const isEmpty = state.length === 0;
    const decoded = isEmpty ? emptyControlState() : ControlState.decode(state);
    this.machine.restore(decoded);
  }
}
