import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createMetrics, SystemTimers} from '../../adapters/system/index.js';
import {createClosedConnections} from './closed-connections.js';

test('a flood of closed connections costs one log line for each port and reason', () => {
	const lines: unknown[] = [];
	const metrics = createMetrics();
	const closed = createClosedConnections({
		timers: new SystemTimers(),
		metrics,
		logger: {
			warn(_message, fields) {
				return lines.push(fields);
			},
		},
	});
	for (let count = 0; count < 1000; count++) {
		closed.record('callers', 'unread');
		closed.record('ready', 'connections');
	}

	closed.dispose();
	assert.deepEqual(lines, [
		{port: 'callers', reason: 'unread', connections: 1000},
		{port: 'ready', reason: 'connections', connections: 1000},
	]);
	assert.match(
		metrics.text(),
		/cowslip_connections_closed_total{port="callers",reason="unread"} 1000/,
	);
});
