package org.ibissaddle.note;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Digests of texts. */
public final class Digests {
    private Digests() {}

    /**
     * Computes the SHA-256 of a text in UTF-8.
     *
     * @param text the text
     * @return the digest, lower-case hexadecimal
     */
    public static String sha256(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java runtime lacks SHA-256, which every runtime must provide", e);
        }
    }
}
