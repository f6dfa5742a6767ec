package org.ibissaddle.quarantine;

/**
 * Content whose requests are refused.
 *
 * @param key id of a prompt part, or fingerprint of a whole request
 * @param crashes number of known crashes at which it was in flight
 * @param untilMs time at which the next request with the content may be sent, in milliseconds of the local clock
 */
public record RefusedContent(String key, int crashes, long untilMs) {
    /**
     * Returns why requests are refused.
     *
     * @return a sentence for callers and logs
     */
    public String reason() {
        return "content " + key + " was in flight at " + crashes + " crashes of servers";
    }
}
