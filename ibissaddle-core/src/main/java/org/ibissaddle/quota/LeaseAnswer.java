package org.ibissaddle.quota;

import org.ibissaddle.id.WorkspaceId;

/** Answer to a lease request. */
public sealed interface LeaseAnswer {
    /**
     * Returns the workspace.
     *
     * @return the workspace of the lease request
     */
    WorkspaceId workspace();

    /**
     * The instance is the issuer.
     *
     * @param workspace the workspace
     * @param tokens tokens granted, 0 if there are none
     * @param lifetimeMs time from the sending of the lease request after which unspent tokens are lost, milliseconds
     * @param nextMs time until tokens are due for the first waiting request without any, milliseconds; 0 if there is
     *     none
     * @param backlogMs time in which the issuer could serve all requests that were rejected recently, milliseconds
     */
    record Granted(WorkspaceId workspace, long tokens, long lifetimeMs, long nextMs, long backlogMs)
            implements LeaseAnswer {}

    /**
     * The instance issues no tokens of the workspace.
     *
     * @param workspace the workspace
     * @param reason the reason
     * @param retryMs time after which the reason may be gone, milliseconds
     */
    record NotIssuing(WorkspaceId workspace, Reason reason, long retryMs) implements LeaseAnswer {}

    /** Why an instance issues no tokens. */
    enum Reason {
        /** It believes that another instance is the issuer. */
        NOT_FIRST,
        /** It has not been the issuer for long enough; others may still believe that the previous one is running. */
        HOLD_DOWN,
        /** It does not know the size of the deployment yet. */
        DISCOVERING,
        /** None of its own messages are answered. */
        UNANSWERED,
        /** It knows no quota of the workspace. */
        UNKNOWN_WORKSPACE
    }
}
