import assert from 'node:assert/strict';
import {test} from 'node:test';
import {headerPairs, ProblemError} from '../common/index.js';
import {decodeBootFile} from './boot-file.js';
import {
	decodeConfiguration,
	decodeConfigurationInSlices,
} from './configuration.js';
import {decodeRequest, encodeRequestHeaders} from './request-headers.js';
import {decodeTargetEntry} from './target-entry.js';
import {bootFile} from './testing/index.js';

/** Fields of a configuration besides its routes. */
const configurationFields = {
	version: 4,
	services: [{name: 's', health_path: '/healthz', max_conns: 10}],
	limits: {
		max_header_bytes: 1000,
		max_body_bytes: 2000,
		header_timeout_ms: 3000,
		idle_timeout_ms: 4000,
	},
};

/** Fields that each route has. */
const routeFields = {
	name: 'r',
	hostname: 'A.example',
	prefix: '/x/',
	timeout_ms: 900,
	target_latency_ms: 150,
	priority: 2,
	max_attempts: 1,
};

const assertProblem = (run: () => unknown, type: string, field?: string) => {
	assert.throws(
		run,
		(error) =>
			error instanceof ProblemError &&
			error.type === type &&
			(field === undefined || error.field === field),
	);
};

test('decodeBootFile converts units, ignores unknown fields and names the invalid field in its error', () => {
	const settings = decodeBootFile(JSON.stringify(bootFile()));
	assert.equal(settings.bounds.stopGraceMs, 8000);
	assert.equal(settings.bounds.retryWindowMs, 10_000);
	const bad = {...bootFile(), zone: 7};
	assertProblem(
		() => decodeBootFile(JSON.stringify(bad)),
		'invalid-setting',
		'zone',
	);
	assertProblem(() => decodeBootFile('{'), 'invalid-setting');
	const more = {...bootFile(), unknown: [1]};
	assert.equal(decodeBootFile(JSON.stringify(more)).name, settings.name);
});

test('the bounds for evacuations and cold targets and the regions of zones may be absent from the boot file', () => {
	const {bounds, regions} = decodeBootFile(JSON.stringify(bootFile()));
	assert.deepEqual(
		[bounds.evacuateMs, bounds.coldOverage, bounds.coldSlack, [...regions]],
		[undefined, undefined, undefined, [['zone-1', 'region-1']]],
	);
	const full = {
		...bootFile(undefined, {
			bounds: {evacuate_ms: 5000, cold_overage: 1.5, cold_slack: 5},
		}),
		zones: {'zone-1': 'region-1', 'zone-2': 'region-2'},
	};
	const settings = decodeBootFile(JSON.stringify(full));
	assert.equal(settings.bounds.evacuateMs, 5000);
	assert.equal(settings.bounds.coldOverage, 1.5);
	assert.equal(settings.bounds.coldSlack, 5);
	assert.equal(settings.regions.get('zone-2'), 'region-2');
	assertProblem(
		() => decodeBootFile(JSON.stringify({...full, zones: {'zone-1': 1}})),
		'invalid-setting',
		'zones.zone-1',
	);
});

test('the cold time and rate of a service are 0 if the configuration does not name them', () => {
	const {services} = decodeConfiguration(
		JSON.stringify({
			...configurationFields,
			routes: [],
			services: [{cold_s: 1, cold_per_s: 28}, {}].map((cold, index) => ({
				name: ['model', 'desk'][index],
				health_path: '/healthz',
				max_conns: 10,
				...cold,
			})),
		}),
	);
	const model = services.get('model');
	const desk = services.get('desk');
	assert.deepEqual([model?.coldMs, model?.coldRequestsPerSecond], [1000, 28]);
	assert.deepEqual([desk?.coldMs, desk?.coldRequestsPerSecond], [0, 0]);
});

test('a configuration with many routes is decoded in small slices, so that streams do not stall, and an outdated one is not decoded', () => {
	const text = JSON.stringify({
		...configurationFields,
		routes: Array.from({length: 1500}, (_, index) => ({
			...routeFields,
			name: `r${index}`,
			prefix: `/x${index}/`,
			kind: 'idempotent',
			service: 's',
		})),
	});
	const slices = decodeConfigurationInSlices(text, 3);
	let sliceCount = 0;
	let step = slices.next();
	for (; !step.done; step = slices.next()) {
		sliceCount++;
	}

	assert.ok(sliceCount > 30);
	assert.deepEqual(step.value, decodeConfiguration(text));
	const outdated = decodeConfigurationInSlices(text, 4);
	outdated.next();
	assert.deepEqual(outdated.next(), {done: true, value: undefined});
});

test('a route of unknown kind is not sent twice; shares, hosts, API keys and allowed regions are decoded, and an error names the invalid field', () => {
	const {routes, accounts} = decodeConfiguration(
		JSON.stringify({
			...configurationFields,
			routes: [
				{
					...routeFields,
					kind: 'strange',
					service: 's',
					allowed_regions: ['region-2'],
				},
				{
					...routeFields,
					kind: 'idempotent',
					max_attempts: 2,
					traffic_split: [
						{service: 's', weight: 9},
						{service: 't', weight: 1},
					],
				},
			],
			tenants: [{name: 'n', api_keys: ['k'], allowed_regions: ['region-1']}],
		}),
	);
	assert.equal(routes[0].kind, 'non-idempotent');
	assert.deepEqual(routes[0].shares, [{service: 's', weight: 1}]);
	assert.equal(routes[0].host, 'a.example');
	assert.deepEqual(
		routes[1].shares.map(({weight}) => weight),
		[9, 1],
	);
	assert.deepEqual(accounts?.[0].apiKeys, ['k']);
	assert.deepEqual(accounts[0].allowedRegions, ['region-1']);
	assert.deepEqual(
		routes.map(({allowedRegions}) => allowedRegions),
		[['region-2'], []],
	);
	assertProblem(
		() =>
			decodeConfiguration(
				JSON.stringify({...configurationFields, routes: [{}]}),
			),
		'invalid-configuration',
		'routes.0.name',
	);
});

test('a configuration that lacks a field is refused, and the error names the field', () => {
	const whole = {
		...configurationFields,
		routes: [{...routeFields, kind: 'stream'}],
	};
	assert.equal(decodeConfiguration(JSON.stringify(whole)).routes.length, 1);
	const parts = [
		{part: whole, path: '', put: (part: object) => part},
		{
			part: whole.routes[0],
			path: 'routes.0.',
			put: (part: object) => ({...whole, routes: [part]}),
		},
		{
			part: {name: 's'},
			path: 'services.0.',
			put: (part: object) => ({...whole, services: [part]}),
		},
		{
			part: whole.limits,
			path: 'limits.',
			put: (part: object) => ({...whole, limits: part}),
		},
	];
	for (const {part, path, put} of parts) {
		for (const field of Object.keys(part)) {
			const lacking = put({...part, [field]: undefined});
			assertProblem(
				() => decodeConfiguration(JSON.stringify(lacking)),
				'invalid-configuration',
				`${path}${field}`,
			);
		}
	}
});

test('malformed target entries are rejected, so that no request goes to a malformed address', () => {
	const entry = {
		service: 's',
		address: '10.0.0.1:80',
		zone: 'z',
		version: 'v1',
		slots: 6,
		state: 'ready',
		cold_left_ms: 0,
		seq: 4,
	};
	const withBirth = JSON.stringify({...entry, born: 17});
	assert.equal(decodeTargetEntry('t', withBirth).bornMs, 17);
	const lacking = Object.keys(entry).map((field) => ({
		...entry,
		[field]: undefined,
	}));
	for (const bad of [
		...lacking,
		{...entry, state: 'odd'},
		{...entry, slots: 'six'},
		{...entry, address: undefined},
		{...entry, born: 1.5},
	]) {
		assertProblem(
			() => decodeTargetEntry('t', JSON.stringify(bad)),
			'table-corrupt-row',
		);
	}

	assertProblem(() => decodeTargetEntry('t', '\u0000'), 'table-corrupt-row');
});

test('hop-by-hop headers and those set by this system are not forwarded from callers to targets', () => {
	const request = decodeRequest({
		method: 'POST',
		path: '/x/1?q=2',
		headers: headerPairs([
			'Host',
			'A.example',
			'Cowslipspread-Attempt-Id',
			'q1',
			'Cowslipspread-Model',
			'm',
			'Cowslipspread-Token-Counts',
			'1460,80',
			'Cowslipspread-Prompt-Prefix',
			'5c:800,91:410',
			'Cowslipspread-Deadline-Ms',
			'900',
			'Api-Key',
			'secret',
			'Cowslipspread-Tenant',
			'other',
			'Cowslipspread-Kv-Backup',
			'10.0.0.9:1',
			'Kv-From',
			'10.0.0.9:1/h',
			'Kv-Fetch',
			'10.0.0.9:1',
			'Cowslipspread-Hold',
			'h',
			'Cowslipspread-Pin-Ms',
			'1',
			'Cowslipspread-Request-Priority',
			'0',
			'Connection',
			'close, X-Hop',
			'X-Hop',
			'1',
			'X-Kept',
			'yes',
			'Transfer-Encoding',
			'chunked',
		]),
		body: undefined,
	});
	assert.deepEqual(request.generation, {
		model: 'm',
		promptTokens: 1460,
		maxOutputTokens: 80,
		promptParts: [
			{id: '5c', tokens: 800},
			{id: '91', tokens: 410},
		],
		lengthHintTokens: undefined,
	});
	const sent = headerPairs(
		encodeRequestHeaders(request, {
			expectedTargetId: 't1',
			account: 'finishers',
			timeoutMs: 700.6,
			priority: 1,
			backupAddress: undefined,
			continueFrom: undefined,
			lastEventId: undefined,
			mayStart: () => true,
			maxAnswerBytes: 1000,
		}),
	);
	assert.deepEqual(
		new Map(sent.map(([name, value]) => [name.toLowerCase(), value])),
		new Map([
			['host', 'A.example'],
			['cowslipspread-attempt-id', 'q1'],
			['cowslipspread-model', 'm'],
			['cowslipspread-token-counts', '1460,80'],
			['cowslipspread-prompt-prefix', '5c:800,91:410'],
			['x-kept', 'yes'],
			['cowslipspread-expect-instance', 't1'],
			['cowslipspread-tenant', 'finishers'],
			['cowslipspread-deadline-ms', '700'],
			['cowslipspread-request-priority', '1'],
		]),
	);
});
