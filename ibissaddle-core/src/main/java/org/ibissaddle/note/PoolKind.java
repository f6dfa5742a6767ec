package org.ibissaddle.note;

/** Kind of the backend servers of a pool. */
public enum PoolKind {
    /** Model engines that stream answers. */
    MODEL,
    /** Plain services. */
    SERVICE
}
