/** Parts shared by several stand-ins. */
package org.ibissaddle.standins.internal;
