package org.ibissaddle.quota;

import java.util.Optional;
import org.ibissaddle.id.InstanceId;

/**
 * What an instance holds of a quota, for log lines and metrics.
 *
 * @param heldTokens unspent tokens of its leases
 * @param waiting number of requests that wait for tokens
 * @param issuer the instance that answered last, empty if none has
 * @param lastAnswer its last answer, empty if none has answered
 * @param answerAgeMs age of that answer, milliseconds
 * @param issuerSilent whether the last lease request got no tokens for want of an issuer
 */
public record LeaseState(
        long heldTokens,
        int waiting,
        Optional<InstanceId> issuer,
        Optional<LeaseAnswer> lastAnswer,
        long answerAgeMs,
        boolean issuerSilent) {
    /** State without any request. */
    static final LeaseState EMPTY = new LeaseState(0, 0, Optional.empty(), Optional.empty(), 0, false);
}
