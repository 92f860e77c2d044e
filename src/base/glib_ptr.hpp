#ifndef GOOSEBERRYWOOD_BASE_GLIB_PTR_HPP
#define GOOSEBERRYWOOD_BASE_GLIB_PTR_HPP

#include <glib-object.h>

#include <memory>

namespace gooseberrywood::base
{

/// \ingroup base
/// \brief Releases one reference of a GObject.
struct object_release
{
    void operator()(gpointer object) const
    {
        g_object_unref(object);
    }
};

/// \ingroup base
/// \brief Owns one reference of a GObject.
template <class Object>
using object_ptr = std::unique_ptr<Object, object_release>;

/// \ingroup base
/// \brief Takes a further reference of an object that somebody else owns.
template <class Object>
[[nodiscard]] object_ptr<Object> share(Object* object)
{
    return object_ptr<Object>(static_cast<Object*>(g_object_ref(object)));
}

/// \ingroup base
/// \brief Releases memory that GLib allocated.
struct glib_free
{
    void operator()(gpointer memory) const
    {
        g_free(memory);
    }
};

/// \ingroup base
/// \brief Releases a GError.
struct glib_error_free
{
    void operator()(GError* failure) const
    {
        g_error_free(failure);
    }
};

/// \ingroup base
/// \brief Owns a GError.
using glib_error_ptr = std::unique_ptr<GError, glib_error_free>;

} // namespace gooseberrywood::base

#endif
