package org.ibissaddle.backend;

/**
 * Part of a prompt that may be shared between requests.
 *
 * @param id id of the part
 * @param tokens length in tokens
 */
public record PromptPart(String id, int tokens) {}
