// The package undici has types for its index only, not for its internal modules.
declare module 'undici/lib/*' {
	const moduleExport: unknown;
	export default moduleExport;
}
