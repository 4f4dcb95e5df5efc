/** Releases a resource or registration. */
export type Disposable = {
	dispose(): void;
};

/** Collects disposables that are released together, in reverse order of registration. */
export type DisposableStore = Disposable & {
	/** Registers a disposable and returns it. */
	add<T extends Disposable>(disposable: T): T;
};

export function createDisposableStore(): DisposableStore {
	const disposables: Disposable[] = [];
	return {
		add(disposable) {
			disposables.push(disposable);
			return disposable;
		},
		dispose() {
			for (const disposable of disposables.splice(0).reverse()) {
				disposable.dispose();
			}
		},
	};
}
