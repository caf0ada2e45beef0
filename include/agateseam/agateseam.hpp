/// The whole public library.
#pragma once

#include <agateseam/admission.hpp>
#include <agateseam/allowance.hpp>
#include <agateseam/clock.hpp>
#include <agateseam/error.hpp>
#include <agateseam/forward_declarations.hpp>
#include <agateseam/object_store.hpp>
#include <agateseam/published.hpp>
#include <agateseam/request.hpp>
#include <agateseam/share_directory.hpp>
#include <agateseam/share_holder.hpp>
#include <agateseam/share_home.hpp>
#include <agateseam/share_messages.hpp>
#include <agateseam/share_node.hpp>
#include <agateseam/share_transport.hpp>
#include <agateseam/static_admission.hpp>
#include <agateseam/version.hpp>
