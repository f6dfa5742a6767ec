package org.ibissaddle.route;

import java.util.Optional;

/**
 * What a request says about its caller.
 *
 * @param apiKey the API key, empty if there is none or more than one
 * @param forwarded whether another instance forwarded the request
 * @param workspace name of the workspace that the forwarding instance found, empty if there is none
 */
public record Credentials(Optional<String> apiKey, boolean forwarded, Optional<String> workspace) {
    /** Omits the key, which is secret. */
    @Override
    public String toString() {
        return "Credentials[apiKey=" + (apiKey.isPresent() ? "present" : "missing") + ", forwarded=" + forwarded
                + ", workspace=" + workspace + "]";
    }
}
