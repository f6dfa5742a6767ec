package org.ibissaddle.quarantine;

import java.util.HexFormat;
import org.ibissaddle.ticket.DeploymentKey;

/**
 * Keyed hash of a request's body; says nothing of the body to those without the deployment's key.
 *
 * @param hash hexadecimal digits
 */
public record Fingerprint(String hash) {
    /**
     * Hashes a body.
     *
     * @param key key of the deployment
     * @param body the body
     * @return its fingerprint
     */
    public static Fingerprint of(DeploymentKey key, byte[] body) {
        return new Fingerprint(HexFormat.of().formatHex(key.sign("fingerprint", body)));
    }
}
