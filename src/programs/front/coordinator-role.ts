import type {Logger} from '../../adapters/system/index.js';
import type {Clock} from '../../common/index.js';
import type {MemberList} from '../../decisions/fleet/index.js';

export type CoordinatorRoleOptions = {
	readonly clock: Clock;
	readonly members: MemberList;
	/** Called when this VM has become the coordinator. */
	readonly onGained: () => void;
	readonly logger: Logger;
};

/** Since when this VM has been the coordinator. */
export type CoordinatorRole = {
	/** Monotonic time in milliseconds; Infinity if this VM is not the coordinator. */
	sinceMs(): number;
	/** Compares with the member list; called at regular intervals. */
	update(): void;
};

export function createCoordinatorRole(
	options: CoordinatorRoleOptions,
): CoordinatorRole {
	const {clock, members, logger} = options;
	let wasCoordinator = false;
	let gainedMs = Infinity;

	return {
		// After a pause this VM may not know yet that another one has become the coordinator.
		sinceMs: () => (members.isCoordinator ? gainedMs : Infinity),
		update() {
			const {isCoordinator} = members;
			if (isCoordinator === wasCoordinator) {
				return;
			}

			wasCoordinator = isCoordinator;
			gainedMs = isCoordinator ? clock.nowMs() : Infinity;
			logger.info('coordinator changed', {
				isCoordinator,
				coordinator: members.coordinator.address,
				vmCount: members.vmCount,
			});
			if (isCoordinator) {
				options.onGained();
			}
		},
	};
}
