/** Utilities shared by the stand-ins. */
package org.ibissaddle.standins.internal;
