package org.ibissaddle.quarantine;

import java.util.HexFormat;
import org.ibissaddle.ticket.DeploymentKey;

/**
 * Keyed hash of a request body. It reveals nothing about the body without the deployment key.
 *
 * @param hash hexadecimal digits
 */
public record Fingerprint(String hash) {
    /**
     * Computes the fingerprint of a body.
     *
     * @param key the deployment key
     * @param body the request body
     * @return its fingerprint
     */
    public static Fingerprint of(DeploymentKey key, byte[] body) {
        return new Fingerprint(HexFormat.of().formatHex(key.sign("fingerprint", body)));
    }
}
