import {describe, expect, it} from 'vitest';
import {ManualClock} from '../../../../base/common/clock';
import {ClassAdmission} from '../../../admission/common/class_admission';
import {GatewayMeter} from '../../node/gateway_meter';
import {RequestTelemetry} from '../../node/request_telemetry';
import {tryTakeRetry} from '../../node/session_context';
import {makeLog} from './session_fixture';

describe('the retry budget', () => {
  it('is not charged for a retry that a member redirects', () => {
    // Otherwise reads redirected by a lagging replica are refused once busy
    // members have used the budget up, although another member could serve them.
    const classes = new ClassAdmission(new ManualClock());
    classes.setRoutes([0, 2].map(priority => ({service: 'books', priority})));
    const {log, lines} = makeLog();
    const journal = new RequestTelemetry(log, new GatewayMeter());
    const retry = (cause: string) => {
      return tryTakeRetry({classes, telemetry: journal}, 'q1', 'books', cause);
    };
    while (retry('busy'));
    expect(lines).toHaveLength(1);
    expect(['lagging', 'not primary'].map(retry)).toEqual([true, true]);
    expect(retry('no answer')).toBe(false);
  });
});
