package org.ibissaddle.ticket;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;

/** URL-safe signed text of a few fields, the common form of tickets and stream tokens. */
public final class SignedFields {
    private static final String SEPARATOR = "\n";
    private static final Base64.Encoder ENCODER = Base64.getUrlEncoder().withoutPadding();
    private static final Base64.Decoder DECODER = Base64.getUrlDecoder();

    private final DeploymentKey key;
    private final String purpose;

    /**
     * Makes a reader and writer.
     *
     * @param key key that signs
     * @param purpose what the text is for
     */
    public SignedFields(DeploymentKey key, String purpose) {
        this.key = key;
        this.purpose = purpose;
    }

    /**
     * Writes fields.
     *
     * @param fields the fields; none holds a line feed
     * @return the signed text
     */
    public String write(List<String> fields) {
        byte[] content = String.join(SEPARATOR, fields).getBytes(StandardCharsets.UTF_8);
        byte[] signature = key.sign(purpose, content);
        byte[] whole = Arrays.copyOf(signature, signature.length + content.length);
        System.arraycopy(content, 0, whole, signature.length, content.length);
        return ENCODER.encodeToString(whole);
    }

    /**
     * Reads fields back.
     *
     * @param text the signed text
     * @param count number of fields expected
     * @return the fields
     * @throws TicketException when the text is malformed or not signed by this key
     */
    public List<String> read(String text, int count) throws TicketException {
        byte[] whole = decode(text);
        if (whole.length <= DeploymentKey.SIGNATURE_BYTES) {
            throw new TicketException(TicketException.Reason.MALFORMED, purpose + " is too short");
        }
        byte[] signature = Arrays.copyOf(whole, DeploymentKey.SIGNATURE_BYTES);
        byte[] content = Arrays.copyOfRange(whole, DeploymentKey.SIGNATURE_BYTES, whole.length);
        if (!key.verify(purpose, content, signature)) {
            throw new TicketException(
                    TicketException.Reason.FOREIGN, purpose + " was not signed with this deployment's key");
        }
        List<String> fields = List.of(new String(content, StandardCharsets.UTF_8).split(SEPARATOR, -1));
        if (fields.size() != count) {
            throw new TicketException(
                    TicketException.Reason.MALFORMED,
                    purpose + " has " + fields.size() + " fields instead of " + count);
        }
        return fields;
    }

    private byte[] decode(String text) throws TicketException {
        try {
            return DECODER.decode(text);
        } catch (IllegalArgumentException e) {
            throw new TicketException(TicketException.Reason.MALFORMED, purpose + " is not URL-safe Base64");
        }
    }
}
