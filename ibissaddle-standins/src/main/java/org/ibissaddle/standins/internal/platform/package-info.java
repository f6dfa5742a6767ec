/** Internals of the platform stand-in: configuration values, read budget, instance list and weight store. */
package org.ibissaddle.standins.internal.platform;
