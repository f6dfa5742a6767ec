package org.ibissaddle.route;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Hash of an API key, by which instances recognise a key without telling it to each other. */
public final class ApiKeyHash {
    private ApiKeyHash() {}

    /**
     * Returns the hash of a key.
     *
     * @param apiKey the key
     * @return SHA-256 of its UTF-8 bytes, in lower-case hexadecimal digits
     */
    public static String of(String apiKey) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(apiKey.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }
}
