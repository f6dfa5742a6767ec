package org.ibissaddle.dispatch;

/**
 * Proof that a call was not run and will not be. Only this package makes proofs, so no other code can tell a caller
 * {@code not-run} about a call that was given to a dispatch.
 */
public abstract sealed class NotRunProof {
    private NotRunProof() {}

    /** No byte of the call was handed to a connection. */
    public static final class NothingHanded extends NotRunProof {
        NothingHanded() {}
    }

    /** Each receiver that got a byte of the call said itself that it did not run it. */
    public static final class SaidByReceivers extends NotRunProof {
        private final int receivers;

        SaidByReceivers(int receivers) {
            this.receivers = receivers;
        }

        /**
         * Returns how many said so.
         *
         * @return number of receivers, at least 1
         */
        public int receivers() {
            return receivers;
        }
    }

    /** The only incarnation that may run the key has sealed it before any write. */
    public static final class KeySealed extends NotRunProof {
        KeySealed() {}
    }
}
