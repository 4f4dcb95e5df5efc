import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createContractLedger} from './contract-ledger.js';
import {createPeerUsage} from './peer-usage.js';

const minuteStartMs = 60_000 * 1000;

function createFixture(vmCount: number) {
	const peerUsage = createPeerUsage();
	const link = {connected: true};
	const ledger = createContractLedger({
		contractOf: () => ({
			floorTokensPerMinute: 100,
			ceilingTokensPerMinute: 1000,
			shareWeight: 2,
		}),
		peerUsage,
		vmCount: () => vmCount,
		connected: () => link.connected,
	});
	return {ledger, peerUsage, link};
}

const report = (chargedTokens: number, tokensPerSecond: number) => ({
	minute: 1000,
	chargedTokens,
	reservedTokens: 0,
	tokensPerSecond,
	demandPerSecond: tokensPerSecond,
});

// Guards against estimates that stay charged after the true length is known.
test('corrects the estimate and names the time to the next minute', () => {
	const {ledger} = createFixture(1);
	const one = ledger.reserve('a', 900, minuteStartMs);
	const two = ledger.reserve('a', 200, minuteStartMs);
	assert.throws(() => ledger.reserve('a', 1, minuteStartMs + 15_000), {
		type: 'rate-limited',
		retryAfterMs: 45_000,
	});
	ledger.charge(one, 50, minuteStartMs + 15_000);
	ledger.release(one);
	ledger.release(one);
	assert.equal(
		ledger.quotaStatus('a', minuteStartMs + 20_000).ceilingTokensLeft,
		750,
	);
	ledger.release(two);
	assert.equal(
		ledger.quotaStatus('a', minuteStartMs + 60_000).belowFloor,
		true,
	);
});

// Guards against a silent peer that counts as idle for the ceiling or as served for the floor.
test('keeps the last rate of a silent peer for the ceiling only', () => {
	const {ledger, peerUsage} = createFixture(2);
	peerUsage.recordReport('b', 'a', report(60, 10), minuteStartMs);
	const later = ledger.quotaStatus('a', minuteStartMs + 30_000);
	assert.equal(later.floorTokensLeft, 40);
	assert.equal(later.ceilingTokensLeft <= 1000 - 360, true);
	const next = ledger.quotaStatus('a', minuteStartMs + 90_000);
	assert.equal(next.floorTokensLeft, 100);
	assert.equal(
		peerUsage.sumUsage('a', minuteStartMs + 90_000).estimatedTokens,
		300,
	);
});

// Guards against refusing an account below its floor while peers cannot be reached.
test('serves the floor although the share of the ceiling is used up', () => {
	const {ledger, link} = createFixture(100);
	link.connected = false;
	const first = ledger.reserve('a', 50, minuteStartMs);
	ledger.charge(first, 50, minuteStartMs);
	assert.doesNotThrow(() => ledger.reserve('a', 50, minuteStartMs));
});
