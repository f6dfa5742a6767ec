package org.ibissaddle.dispatch;

/**
 * Proof that a call was not executed and will not be. Only this package can create instances, so no other code can
 * report {@code not-run} for a call that was passed to a {@link Dispatch}.
 */
public abstract sealed class NotRunProof {
    private NotRunProof() {}

    /** No byte of the call was passed to a connection. */
    public static final class NothingSent extends NotRunProof {
        NothingSent() {}
    }

    /** Every receiver of any byte of the call reported that it did not execute it. */
    public static final class ReportedByReceivers extends NotRunProof {
        private final int receivers;

        ReportedByReceivers(int receivers) {
            this.receivers = receivers;
        }

        /**
         * Returns the number of receivers that reported this.
         *
         * @return number of receivers, at least 1
         */
        public int receivers() {
            return receivers;
        }
    }

    /** The only incarnation allowed to execute the key sealed it before any write. */
    public static final class KeySealed extends NotRunProof {
        KeySealed() {}
    }
}
