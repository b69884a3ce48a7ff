/** Object whose resources are released once. */
export interface Disposable {
  dispose(): void;
}
