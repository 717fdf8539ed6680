package org.acaciapond.mesh.call;

/** Call to a target that has not ended. */
public interface OpenCall {

  /** Cancels the call; it ends without a response. */
  void cancel();

  /**
   * Returns whether the call may have been handed to the target. Otherwise it has not run, and does
   * not run after it is cancelled.
   */
  boolean mayHaveRun();

  /** Call that has ended already. */
  OpenCall ENDED =
      new OpenCall() {
        @Override
        public void cancel() {}

        @Override
        public boolean mayHaveRun() {
          return false;
        }
      };
}
