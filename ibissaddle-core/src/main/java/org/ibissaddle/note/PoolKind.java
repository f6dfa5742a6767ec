package org.ibissaddle.note;

/** The kind of backend servers in a pool. */
public enum PoolKind {
    /** Model engines that stream responses. */
    MODEL,
    /** Plain HTTP services. */
    SERVICE
}
